import {declareMatrix} from './declare_matrix.js';

declareMatrix(7, 8);
