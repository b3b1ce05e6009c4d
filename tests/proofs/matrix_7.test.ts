import {declareMatrix} from './declare_matrix.js';

declareMatrix(6, 8);
